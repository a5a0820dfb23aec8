"""Formats benchmark results as table rows and as an SVG percentile plot."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from html import escape
from math import log10

from turmericpost_standins.bench.run_bench import BenchResult

_PERCENTILES = (0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99)
_LABELLED_PERCENTILES = (50, 90, 99, 99.9, 99.99)
_COLOURS = (
    '#888888',
    '#bb8800',
    '#3377cc',
    '#8855bb',
    '#cc2222',
    '#118844',
)
_WIDTH = 720
_HEIGHT = 420
_LEFT = 60
_BOTTOM = 380
_TOP = 20
_RIGHT = 560
_MAX_NINES = 4
_LATENCY_GRID_MS = (1, 10, 100, 1000, 10000)


def table_row(bench_result: BenchResult) -> str:
    """Return one policy's result as a line of text."""
    percentiles = '  '.join(
        f'p{percentile:g} {bench_result.percentile_ms(percentile):8.1f} ms'
        for percentile in (50, 99, 99.9)
    )
    return (
        f'{bench_result.name:<16} {percentiles}  hops/call {bench_result.hops_per_call:.3f}  '
        f'most at a back end {bench_result.most_in_flight}'
    )


def percentile_plot(bench_results: Sequence[BenchResult]) -> str:
    """Return an SVG plot with one latency curve per policy.

    The x axis shows the percentile by its number of nines, so that 90, 99
    and 99.9 are equally spaced; the y axis shows latency on a log scale.
    """
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{_HEIGHT}" font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        *_grid(),
    ]
    for number, bench_result in enumerate(bench_results):
        colour = _COLOURS[number % len(_COLOURS)]
        lines.extend(_curve(bench_result, colour, number))
    lines.append('</svg>')
    return '\n'.join(lines)


def _grid() -> Iterator[str]:
    for percentile in _LABELLED_PERCENTILES:
        x = _x(percentile)
        yield (
            f'<line x1="{x:.0f}" y1="{_TOP}" x2="{x:.0f}" y2="{_BOTTOM}" '
            'stroke="#dddddd"/>'
        )
        yield f'<text x="{x - 12:.0f}" y="{_BOTTOM + 18}">p{percentile:g}</text>'
    for decade_ms in _LATENCY_GRID_MS:
        y = _y(decade_ms)
        yield (
            f'<line x1="{_LEFT}" y1="{y:.0f}" x2="{_RIGHT}" y2="{y:.0f}" '
            'stroke="#dddddd"/>'
        )
        yield f'<text x="4" y="{y + 4:.0f}">{decade_ms} ms</text>'


def _curve(
    bench_result: BenchResult, colour: str, number: int
) -> Iterator[str]:
    points = ' '.join(
        f'{_x(percentile):.1f},{_y(bench_result.percentile_ms(percentile)):.1f}'
        for percentile in _PERCENTILES
    )
    yield (
        f'<polyline points="{points}" fill="none" stroke="{colour}" '
        'stroke-width="2"/>'
    )
    y = _TOP + 20 * (number + 1)
    yield (
        f'<text x="{_RIGHT + 10}" y="{y}" fill="{colour}">'
        f'{escape(bench_result.name)}</text>'
    )


def _x(percentile: float) -> float:
    nines = -log10(1 - percentile / 100)
    return _LEFT + (_RIGHT - _LEFT) * min(nines, _MAX_NINES) / _MAX_NINES


def _y(latency_ms: float) -> float:
    decades = log10(max(latency_ms, 1))
    return _BOTTOM - (_BOTTOM - _TOP) * decades / (len(_LATENCY_GRID_MS) - 1)
