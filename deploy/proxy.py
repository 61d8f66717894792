"""Starts a proxy from a source checkout without installing the workspace packages."""

import signal
import sys
from pathlib import Path

# Until the proxy handles SIGHUP, its default action would end the process. Nothing is
# missed: the settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
for source in (ROOT / "platform", *sorted((ROOT / "packages").iterdir())):
    sys.path.insert(0, str(source / "src"))

from rosemaryward.proxy.platform_main import main  # noqa: E402

if __name__ == "__main__":
    main()
