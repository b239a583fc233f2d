"""Fair queues, retry budgets and token buckets that limit the load."""

from __future__ import annotations
