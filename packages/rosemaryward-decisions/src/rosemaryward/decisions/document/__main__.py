"""Writes the configuration reference and the JSON Schema to a directory."""

import sys
from pathlib import Path

from rosemaryward.decisions.document.reference import write_files

if __name__ == "__main__":
    write_files(Path(sys.argv[1]))
