"""Fills the tables of docs/CAPACITY.md."""
import re

from . import tables
from .sweep import ROOT

PAGE = ROOT / "docs" / "CAPACITY.md"
BLOCK = re.compile(r"(<!-- capacity:([a-z-]+) -->\n).*?(<!-- /capacity -->)",
                   re.DOTALL)


def refresh():
    """Replaces what stands between `<!-- capacity:NAME -->` and
    `<!-- /capacity -->` by the table of that name."""
    made = tables.all_tables()

    def fill(found):
        return found[1] + made[found[2]] + "\n" + found[3]

    PAGE.write_text(BLOCK.sub(fill, PAGE.read_text()))
