"""Admission control for customers: fairness, limits and budgets."""
