"""Support for ``python -m turmericpost``."""

from __future__ import annotations

from turmericpost.run import run

if __name__ == '__main__':
    run()
