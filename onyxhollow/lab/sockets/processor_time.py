"""Processor time of a run's own processes, which does not depend on other processes of the machine."""

from __future__ import annotations

import resource
import time
from collections.abc import Iterable

import psutil


def processor_seconds(children: Iterable[int]) -> float:
    """Return the processor time that this process, its ended children and these running ones have used.

    Args:
        children: Process ids of the running children to count. One that has not been waited for counts as
            running.
    """
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    total = time.process_time() + ended.ru_utime + ended.ru_stime
    for process_id in children:
        times = psutil.Process(process_id).cpu_times()
        total += float(times.user + times.system)
    return total
