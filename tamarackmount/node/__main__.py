"""Entry point of ``python3 -m tamarackmount.node``."""

import sys

from tamarackmount.node.run import run

if __name__ == "__main__":
    sys.exit(run())
