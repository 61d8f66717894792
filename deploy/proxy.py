"""Starts a proxy from a source checkout without installing the workspace packages."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for source in (ROOT / "platform", *sorted((ROOT / "packages").iterdir())):
    sys.path.insert(0, str(source / "src"))

from rosemaryward.proxy.platform_main import main  # noqa: E402

if __name__ == "__main__":
    main()
