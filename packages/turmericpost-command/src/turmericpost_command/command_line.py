"""Runs subcommands and reports wrong usage in one line."""

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
    """Run the subcommand given in the arguments and return its exit status.

    Parser errors are printed as one line, without the usage text.
    """
    parser_output = io.StringIO()
    try:
        with redirect_stderr(parser_output):
            command = defopt.bind(
                functions,
                argv=list(arguments),
                no_negated_flags=True,
                argparse_kwargs={'prog': program, 'allow_abbrev': False},
            )
    except SystemExit as parser_exit:
        return _parser_exit_status(
            program, parser_exit, parser_output.getvalue()
        )
    try:
        return int(command())
    except BrokenPipeError:
        return _handle_closed_pipe()


def _handle_closed_pipe() -> int:
    """Redirect output to the null device after its reader closed the pipe.

    Otherwise Python would fail when it flushes the output at exit.
    """
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, sys.stdout.fileno())
    return EXIT_OK


def _parser_exit_status(
    program: str, parser_exit: SystemExit, parser_output: str
) -> int:
    if not parser_exit.code:
        return EXIT_OK
    lines = parser_output.strip().splitlines() or ['wrong usage']
    detail = lines[-1].rpartition(': error: ')[2]
    sys.stderr.write(f'{program}: {detail}\n')
    return EXIT_USAGE
