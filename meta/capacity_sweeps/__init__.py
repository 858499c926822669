"""The sweeps behind docs/CAPACITY.md; `meta/capacity` runs them."""
