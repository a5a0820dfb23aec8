"""Runs an entry VM on the platform: ``python -m turmericpost.platform``.

A reload signal is ignored until the process can reload its settings. This comes
before the other imports, which take most of the time of a start.
"""

import signal
import sys

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from turmericpost.platform.process import main  # noqa: E402, I001

if __name__ == '__main__':
    sys.exit(main())
