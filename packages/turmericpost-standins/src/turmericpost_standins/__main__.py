"""``python -m turmericpost_standins``: the load tool and the stand-ins."""

from __future__ import annotations

import sys

import defopt

from turmericpost_standins.commands import (
    baseline_relay,
    bench,
    drive_load,
    measure,
    stand_ins,
)

if __name__ == '__main__':
    functions = {
        'load': drive_load,
        'stand-ins': stand_ins,
        'baseline-relay': baseline_relay,
        'measure': measure,
        'bench': bench,
    }
    sys.exit(defopt.run(functions, no_negated_flags=True))
