"""Run every check of the workspace and print one closing count.

Checks that KNOWN-RED.txt names may fail; they are printed and counted as
known. Exit status 0 means that nothing else failed.
"""

from __future__ import annotations

import re
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ROOT / 'packages'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'

_PYTHON = sys.executable
_RAN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
_FAILED = re.compile(r'^(?:FAIL|ERROR): (\S+) \((\S+)\)', re.MULTILINE)
_WORKERS = 3


@dataclass(frozen=True)
class Step:
    """One command of the checks."""

    name: str
    arguments: tuple[str, ...]
    directory: Path = ROOT


@dataclass(frozen=True)
class StepEnd:
    """How a step ended: counts and the names of what failed."""

    step: Step
    passed: int
    failures: tuple[str, ...]
    output: str
    seconds: float


def steps() -> Iterator[Step]:
    """Yield the checks: format, lint, types, then each package's tests."""
    targets = ('packages', 'tools')
    yield Step('format', ('-m', 'ruff', 'format', '--check', *targets))
    yield Step('lint', ('-m', 'ruff', 'check', *targets))
    yield Step('style', ('-m', 'flake8', *targets))
    yield Step('docs', ('tools/generate_docs.py', '--check'))
    sources = tuple(str(path) for path in sorted(PACKAGES.glob('*/src')))
    yield Step('types', ('-m', 'mypy', *sources))
    for tests in sorted(PACKAGES.glob('*/tests')):
        name = ' '.join(('tests of', tests.parent.name))
        discover = ('-m', 'unittest', 'discover', '-s', 'tests', '-t', '.')
        yield Step(name, discover, tests.parent)


def run_step(step: Step) -> StepEnd:
    """Run one step."""
    begun_s = time.monotonic()
    ended = subprocess.run(  # noqa: S603
        (_PYTHON, *step.arguments),
        cwd=step.directory,
        capture_output=True,
        text=True,
        check=False,
    )
    output = ended.stdout + ended.stderr
    passed, failures = _count(step, output, is_ok=ended.returncode == 0)
    seconds = time.monotonic() - begun_s
    return StepEnd(step, passed, failures, output, seconds)


def main() -> int:
    """Run all steps and print the closing line."""
    with ThreadPoolExecutor(_WORKERS) as workers:
        ends = tuple(workers.map(run_step, steps()))
    known = _known_red()
    for one in ends:
        _print_end(one)
    failures = [name for end in ends for name in end.failures]
    red = [name for name in failures if name in known]
    for name in red:
        sys.stdout.write(f'known red: {name}\n')
    passed = sum(end.passed for end in ends)
    failed = len(failures) - len(red)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed else 0


def _count(
    step: Step,
    output: str,
    *,
    is_ok: bool,
) -> tuple[int, tuple[str, ...]]:
    ran = _RAN.search(output)
    if ran is None:
        return (1, ()) if is_ok else (0, (step.name,))
    failures = tuple({found.group(2) for found in _FAILED.finditer(output)})
    if not (is_ok or failures):
        failures = (step.name,)
    total = int(ran.group(1))
    if not total:
        return 0, (f'{step.name}: no test was run',)
    return max(0, total - len(failures)), failures


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def _print_end(end: StepEnd) -> None:
    verdict = 'failed' if end.failures else 'ok'
    name = end.step.name
    sys.stdout.write(f'{name}: {verdict} ({end.seconds:.0f} s)\n')
    if end.failures:
        sys.stdout.write(end.output)


if __name__ == '__main__':
    sys.exit(main())
