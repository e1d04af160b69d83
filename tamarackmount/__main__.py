"""Entry point of the ``tamarackmount`` command."""

import sys

from tamarackmount.context import process_environment
from tamarackmount.core import main as core_main


def main() -> int:
    """Run the command with this process's arguments and streams."""
    return int(core_main(sys.argv[1:], process_environment()))


if __name__ == "__main__":
    sys.exit(main())
