"""A plot of latency over time as SVG."""

import typing

from bulrushcourse_testkit.bench import workload

WIDTH, HEIGHT, MARGIN = 900, 320, 46
BUCKET_S = 0.1
COLORS = ('#1b6ca8', '#c0392b')

Series = list[tuple[float, float]]


def p99_over_time(latencies: Series) -> Series:
    """Return the p99 latency in ms of each bucket of time.

    Args:
        latencies: Arrival and latency, in seconds.

    Examples:
        >>> p99_over_time([(0.01, 0.2), (0.02, 0.1), (0.15, 0.3)])
        [(0.0, 200.0), (0.1, 300.0)]
    """
    buckets: dict[int, list[float]] = {}
    for at, seconds in latencies:
        buckets.setdefault(int(at / BUCKET_S), []).append(1_000 * seconds)
    return [
        (number * BUCKET_S, sorted(found)[int(0.99 * len(found))])
        for number, found in sorted(buckets.items())
    ]


def draw(
    title: str,
    series: dict[str, Series],
    spells: typing.Iterable[workload.Spell],
    length_s: float,
) -> str:
    """Return an SVG document.

    Args:
        title: Its title.
        series: Arrival and latency in seconds, by name of the policy.
        spells: Slow spells, drawn as bars and vertical lines.
        length_s: Length of the time axis.
    """
    lines = {name: p99_over_time(found) for name, found in series.items()}
    top = max(ms for line in lines.values() for _, ms in line)
    scale = (WIDTH - 2 * MARGIN) / length_s, (HEIGHT - 2 * MARGIN) / top

    def place(at: float, ms: float) -> str:
        x = MARGIN + at * scale[0]
        return f'{x:.1f},{HEIGHT - MARGIN - ms * scale[1]:.1f}'

    parts = [_spell(spell, scale[0]) for spell in spells]
    for color, (name, line) in zip(COLORS, lines.items(), strict=False):
        points = ' '.join(place(*point) for point in line)
        parts.append(
            f'<polyline fill="none" stroke="{color}" points="{points}">'
            f'<title>{name}</title></polyline>'
        )
    for number, name in enumerate(lines):
        parts.append(_text(MARGIN + 190 * number, 34, name, COLORS[number]))
    parts.append(_text(MARGIN, 16, title))
    for ms in (0, top / 2, top):
        y = HEIGHT - MARGIN - ms * scale[1]
        parts.append(_text(2, y, f'{ms:.0f} ms'))
    for second in range(int(length_s) + 1):
        x = MARGIN + second * scale[0]
        parts.append(_text(x, HEIGHT - 26, f'{second} s'))
    parts.append(_text(MARGIN, HEIGHT - 8, 'grey: two instances slowed'))
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="11">'
        f'<rect width="100%" height="100%" fill="white"/>{"".join(parts)}'
        '</svg>\n'
    )


def _spell(spell: workload.Spell, scale: float) -> str:
    x = MARGIN + spell.start * scale
    width = (spell.end - spell.start) * scale
    return (
        f'<rect x="{x:.1f}" y="{MARGIN}" width="{width:.1f}" '
        f'height="{HEIGHT - 2 * MARGIN}" fill="#888" fill-opacity="0.1" '
        f'stroke="#888" stroke-dasharray="2"><title>instance '
        f'{spell.instance}, {spell.factor:g} times</title></rect>'
    )


def _text(x: float, y: float, text: str, color: str = '#333') -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" fill="{color}">{text}</text>'
