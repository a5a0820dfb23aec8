"""Runs all checks of the repository and prints how many passed and failed.

Tests that are listed in KNOWN-RED.txt may fail; they are printed as
``known red``.
Exit status 0 means that nothing else failed.
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
_RAN_PATTERN = re.compile(r'^Ran (\d+) tests?', re.MULTILINE)
_FAILED_PATTERN = re.compile(r'^(?:FAIL|ERROR): (\S+) \((\S+)\)', re.MULTILINE)
_WORKER_COUNT = 3
_ISOLATED_FILES = 'isolated_*.py'


@dataclass(frozen=True)
class Step:
    """One check: a Python command that succeeds with exit status 0."""

    name: str
    arguments: tuple[str, ...]
    directory: Path = ROOT


@dataclass(frozen=True)
class StepResult:
    """Result of a step; ``failures`` names the step or tests that failed."""

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


def isolated_steps() -> Iterator[Step]:
    """Yield the tests that are run one at a time, apart from other load."""
    for tests in sorted(PACKAGES.glob('*/tests')):
        if any(tests.rglob(_ISOLATED_FILES)):
            name = ' '.join(('isolated tests of', tests.parent.name))
            discover = ('-m', 'unittest', 'discover', '-s', 'tests', '-t', '.')
            arguments = (*discover, '-p', _ISOLATED_FILES)
            yield Step(name, arguments, tests.parent)


def run_step(step: Step) -> StepResult:
    """Run one step and return its result."""
    begun_s = time.monotonic()
    completed = subprocess.run(  # noqa: S603
        (_PYTHON, *step.arguments),
        cwd=step.directory,
        capture_output=True,
        text=True,
        check=False,
    )
    output = completed.stdout + completed.stderr
    passed, failures = _count_results(
        step, output, is_ok=completed.returncode == 0
    )
    seconds = time.monotonic() - begun_s
    return StepResult(step, passed, failures, output, seconds)


def main() -> int:
    """Run all steps, print their results and return the exit status."""
    with ThreadPoolExecutor(_WORKER_COUNT) as workers:
        step_results = tuple(workers.map(run_step, steps()))
    step_results += tuple(map(run_step, isolated_steps()))
    known_red = _known_failing_tests()
    for step_result in step_results:
        _print_result(step_result)
    failures = [
        name
        for finished_step in step_results
        for name in finished_step.failures
    ]
    known_failures = [name for name in failures if name in known_red]
    for name in known_failures:
        sys.stdout.write(f'known red: {name}\n')
    passed = sum(finished_step.passed for finished_step in step_results)
    failed = len(failures) - len(known_failures)
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if failed else 0


def _count_results(
    step: Step,
    output: str,
    *,
    is_ok: bool,
) -> tuple[int, tuple[str, ...]]:
    ran_match = _RAN_PATTERN.search(output)
    if ran_match is None:
        return (1, ()) if is_ok else (0, (step.name,))
    failures = tuple(
        {
            failure_match.group(2)
            for failure_match in _FAILED_PATTERN.finditer(output)
        }
    )
    if not (is_ok or failures):
        failures = (step.name,)
    total = int(ran_match.group(1))
    if not total:
        return 0, (f'{step.name}: no test was run',)
    return max(0, total - len(failures)), failures


def _known_failing_tests() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    )


def _print_result(step_result: StepResult) -> None:
    verdict = 'failed' if step_result.failures else 'ok'
    name = step_result.step.name
    sys.stdout.write(f'{name}: {verdict} ({step_result.seconds:.0f} s)\n')
    if step_result.failures:
        sys.stdout.write(step_result.output)


if __name__ == '__main__':
    sys.exit(main())
