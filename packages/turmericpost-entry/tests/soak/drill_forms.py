"""Forms of a drill of the store, and what is drawn for one play of it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from types import MappingProxyType

Range = tuple[float, float]

NO_LEAVER = ''
LEAVES_LATER = 'later'
LEFT_BEFORE = 'before'


@dataclass(frozen=True)
class DrillForm:
    """What is written, what is lost, and how the store is away.

    ``lost_versions`` configurations are written after the copy was made; the
    newest one is written again, then a new one, then ``fillers`` records that
    change nothing. The ``leaver`` leaves after the return or before the loss.
    ``with_others`` adds an evacuation and a new server to what is lost and
    written again later. ``away_fault`` is the field of ``StoreFaults`` that
    keeps the store away. ``write_pause_s`` is the pause before each version
    after the return. Without ``is_lossy`` it returns with all records.
    """

    lost_versions: int = 1
    fillers: int = 0
    leaver: str = NO_LEAVER
    with_others: bool = False
    returns: int = 1
    copy_age_s: Range = (2, 4)
    away_s: Range = (0, 2)
    away_fault: str = 'is_down'
    write_pause_s: Range = (0.1, 0.5)
    cuts_vm: bool = False
    kills_vm: bool = False
    is_lossy: bool = True
    states_era: bool = True


_SIX_LOST = DrillForm(lost_versions=6)

FORMS = MappingProxyType(
    {
        'a': DrillForm(leaver=LEAVES_LATER, copy_age_s=(0.5, 3)),
        'a-left': DrillForm(leaver=LEFT_BEFORE),
        'b': _SIX_LOST,
        'c': replace(
            _SIX_LOST, fillers=10, away_s=(0.5, 2), write_pause_s=(0, 0.1)
        ),
        'd': DrillForm(2, returns=2, copy_age_s=(0.5, 1.5), away_s=(0, 1)),
        'e-cut': DrillForm(2, leaver=LEFT_BEFORE, cuts_vm=True),
        'e-killed': DrillForm(2, kills_vm=True, away_s=(0.5, 1)),
        'e-killed-left': DrillForm(
            2, leaver=LEFT_BEFORE, kills_vm=True, away_s=(0.5, 1)
        ),
        'f': DrillForm(2, leaver=LEFT_BEFORE, with_others=True),
        'g-young': DrillForm(2, copy_age_s=(0.1, 0.9), away_s=(0, 0)),
        'g-old': DrillForm(2, copy_age_s=(4, 6), away_s=(0, 0)),
        'g-down': DrillForm(2, away_s=(1, 1)),
        'g-silent': DrillForm(2, away_s=(3, 3), away_fault='is_silent'),
        'g-busy': DrillForm(2, away_s=(3, 3), away_fault='is_busy'),
        'h': DrillForm(2, leaver=LEAVES_LATER, away_s=(1, 3), is_lossy=False),
        'i': DrillForm(2, leaver=LEAVES_LATER, states_era=False),
        'refilled': DrillForm(2, away_s=(1, 2)),
    }
)
"""Forms by name.

In ``refilled`` the records after the return end where the readers had been.
"""


@dataclass(frozen=True)
class Play:
    """One play of a form; the seed draws names, numbers, sizes and times."""

    form_name: str
    seed: int = 1
    vms: int = 8

    @property
    def form(self) -> DrillForm:
        """The form played."""
        return FORMS[self.form_name]
