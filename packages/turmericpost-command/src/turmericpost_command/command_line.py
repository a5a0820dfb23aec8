"""Command line errors as one clear line."""

from __future__ import annotations

import io
import os
import sys
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr

import defopt

EXIT_OK = 0
EXIT_USAGE = 2


def run_command(
    program: str,
    functions: dict[str, Callable[..., int]],
    arguments: Sequence[str],
) -> int:
    """Run the function that the arguments name and return its status.

    The parser's errors are printed as one line without the usage text.
    """
    complaints = io.StringIO()
    try:
        with redirect_stderr(complaints):
            call = defopt.bind(
                functions,
                argv=list(arguments),
                no_negated_flags=True,
                argparse_kwargs={'prog': program, 'allow_abbrev': False},
            )
    except SystemExit as stopped:
        return _stopped(program, stopped, complaints.getvalue())
    try:
        return int(call())
    except BrokenPipeError:
        return _reader_gone()


def _reader_gone() -> int:
    """End quietly when the reader of the output has closed the pipe."""
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, sys.stdout.fileno())
    return EXIT_OK


def _stopped(program: str, stopped: SystemExit, complaints: str) -> int:
    if not stopped.code:
        return EXIT_OK
    lines = complaints.strip().splitlines() or ['wrong usage']
    detail = lines[-1].rpartition(': error: ')[2]
    sys.stderr.write(f'{program}: {detail}\n')
    return EXIT_USAGE
