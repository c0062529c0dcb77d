"""Renders latency over time as an SVG plot."""

from bulrushcourse_testkit.bench import workload

WIDTH, HEIGHT, MARGIN = 900, 320, 46
BUCKET_S = 0.1
COLORS = ('#1b6ca8', '#c0392b')

Series = list[tuple[float, float]]


def p99_over_time(latencies: Series) -> Series:
    """Return the start and the p99 latency in ms of each time bucket.

    Examples:
        >>> p99_over_time([(0.01, 0.2), (0.02, 0.1), (0.15, 0.3)])
        [(0.0, 200.0), (0.1, 300.0)]
    """
    buckets: dict[int, list[float]] = {}
    for at, seconds in latencies:
        buckets.setdefault(int(at / BUCKET_S), []).append(1_000 * seconds)
    return [
        (number * BUCKET_S, sorted(values)[int(0.99 * len(values))])
        for number, values in sorted(buckets.items())
    ]


def render(
    title: str,
    series: dict[str, Series],
    slowdowns: list[workload.Slowdown],
    duration_s: float,
) -> str:
    """Return an SVG document that shows slowdowns as grey boxes."""
    lines = {name: p99_over_time(points) for name, points in series.items()}
    top = max(ms for line in lines.values() for _, ms in line)
    x_scale, y_scale = (
        (WIDTH - 2 * MARGIN) / duration_s,
        (HEIGHT - 2 * MARGIN) / top,
    )
    base = HEIGHT - MARGIN
    parts = [_text(MARGIN, 16, f'{title}; grey: two instances slowed')]
    for slowdown in slowdowns:
        parts.append(
            f'<rect x="{MARGIN + slowdown.start * x_scale:.1f}" y="{MARGIN}" '
            f'width="{(slowdown.end - slowdown.start) * x_scale:.1f}" '
            f'height="{base - MARGIN}" fill="#888" fill-opacity="0.1" '
            'stroke="#888" stroke-dasharray="2"/>'
        )
    for number, (name, line) in enumerate(lines.items()):
        points = ' '.join(
            f'{MARGIN + at * x_scale:.1f},{base - ms * y_scale:.1f}'
            for at, ms in line
        )
        color = COLORS[number]
        parts.append(
            f'<polyline fill="none" stroke="{color}" points="{points}"/>'
        )
        parts.append(_text(MARGIN + 190 * number, 34, name, color))
    for ms in (0, top / 2, top):
        parts.append(_text(2, base - ms * y_scale, f'{ms:.0f} ms'))
    for second in range(int(duration_s) + 1):
        parts.append(
            _text(MARGIN + second * x_scale, base + 18, f'{second} s')
        )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="11">'
        f'<rect width="100%" height="100%" fill="white"/>{"".join(parts)}'
        '</svg>\n'
    )


def _text(x: float, y: float, text: str, color: str = '#333') -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" fill="{color}">{text}</text>'
