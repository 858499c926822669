"""Figures and tables as text."""


def shown(value):
    """Three significant digits, thousands separated."""
    if value is None:
        return "not measured"
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    digits = f"{value:.3g}"
    if "e" in digits and abs(value) >= 1e-6:
        digits = f"{value:.6f}".rstrip("0")
    return digits


def with_unit(value, unit):
    return "not measured" if value is None else f"{shown(value)} {unit}"


def markdown(headings, rows):
    lines = ["| " + " | ".join(headings) + " |",
             "|" + "---|" * len(headings)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |"
              for row in rows]
    return "\n".join(lines)
