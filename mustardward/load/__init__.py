"""Generate bounded load on entries and measure the responses."""
