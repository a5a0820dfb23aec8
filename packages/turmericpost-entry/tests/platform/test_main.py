"""Start of the process on the platform, with a settings file that is a pipe."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

_TIMEOUT_S = 30
_EXIT_USAGE = 2


class StartTest(unittest.TestCase):
    # Guards against a reload signal that ends a process which has just begun.
    def test_reload_signal_while_starting_is_ignored(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings'
            os.mkfifo(path)
            process = subprocess.Popen(
                (sys.executable, '-m', 'turmericpost.platform'),
                env={**os.environ, 'TURMERICPOST_BOOT': str(path)},
                stderr=subprocess.DEVNULL,
            )
            self.addCleanup(process.kill)
            with path.open('w', encoding='utf-8') as settings_pipe:
                process.send_signal(signal.SIGHUP)
                settings_pipe.write('NodeName=vm0\n')
            self.assertEqual(process.wait(_TIMEOUT_S), _EXIT_USAGE)


if __name__ == '__main__':
    unittest.main()
