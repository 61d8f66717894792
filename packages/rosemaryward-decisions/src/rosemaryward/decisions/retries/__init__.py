"""Retries of statements that did not run: backoff, retry budget and retry loop."""

from rosemaryward.decisions.retries.backoff import Backoff
from rosemaryward.decisions.retries.budget import RetryBudget
from rosemaryward.decisions.retries.retry import retry_not_run

__all__ = ["Backoff", "RetryBudget", "retry_not_run"]
