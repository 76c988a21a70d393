"""Retry budgets, hedging and deadlines."""
