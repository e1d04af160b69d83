"""Entry point of ``tamarackmountd``."""

import sys

from tamarackmount.daemon.run import run


def main() -> None:
    """Run the daemon with the command line's arguments."""
    sys.exit(run(sys.argv[1:]).value)


if __name__ == "__main__":
    main()
