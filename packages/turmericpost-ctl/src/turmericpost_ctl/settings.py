"""Default settings of ``turmericpostctl``."""

from __future__ import annotations

import os

DEFAULT_ADMIN_URL = os.environ.get(
    'TURMERICPOST_ADMIN_URL',
    'http://127.0.0.1:8081',
)
DEFAULT_WAIT_S = float(10)
