"""Runs soaks by hand.

Usage: ``python -m tests.soak FIRST COUNT [VMS] [FOLDER] [DRILLS]``. Prints a
line for each seed and the violations. Exit status 1 means that there were any.
The logs of the VMs go to a folder for each seed below ``FOLDER``.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

from tests.soak.soak import SoakSize, run_soak

_DEFAULT_VMS = 4
_DEFAULT_DRILLS = 3


def main(
    first: int, count: int, vms: int, folder: Path | None, drills: int
) -> int:
    """Run the soaks with these seeds and return the exit status."""
    failed = 0
    for seed in range(first, first + count):
        seed_folder = None if folder is None else folder / str(seed)
        soak = run_soak(seed, SoakSize(vms, 2 * vms, drills), seed_folder)
        statuses = Counter(request.status for request in soak.requests)
        sys.stdout.write(
            f'seed {seed}: {len(soak.requests)} requests {dict(statuses)}, '
            f'{len(soak.actions)} faults, {len(soak.drills.returns_s)} drills, '
            f'{len(soak.violations)} violations\n'
        )
        for violation in soak.violations:
            sys.stdout.write(f'  {violation}\n')
        sys.stdout.flush()
        failed += bool(soak.violations)
    return 1 if failed else 0


if __name__ == '__main__':
    arguments = sys.argv[1:]
    sys.exit(
        main(
            int(arguments[0]),
            int(arguments[1]),
            int(arguments[2]) if len(arguments) > 2 else _DEFAULT_VMS,
            Path(arguments[3]) if len(arguments) > 3 else None,
            int(arguments[4]) if len(arguments) > 4 else _DEFAULT_DRILLS,
        )
    )
