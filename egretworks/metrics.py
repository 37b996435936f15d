"""Count calls and keep their times in HDR histograms."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

LOWEST_MICROS = 1
HIGHEST_MICROS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROS_PER_MILLI = 1_000
PERCENTILES = (50.0, 99.0, 99.9)


class Metrics:
    """Collect what one daemon measures of itself."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._histograms_by_name: dict[str, HdrHistogram] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self.counts[name] += by

    def observe(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds in the histogram `name`."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
            self._histograms_by_name[name] = histogram
        histogram.record_value(max(LOWEST_MICROS, int(duration_ms * MICROS_PER_MILLI)))

    def lines(self) -> Iterable[str]:
        """Yield the metrics in the text format that scrapers read."""
        for name in sorted(self.counts):
            yield f"egret_{name}_total {self.counts[name]}"
        for name, histogram in sorted(self._histograms_by_name.items()):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / MICROS_PER_MILLI
                yield f'egret_{name}_ms{{quantile="{percentile / 100:g}"}} {value:g}'
            yield f"egret_{name}_ms_count {histogram.get_total_count()}"
