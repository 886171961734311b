"""What is owed to customers: admission, fairness, limits and budgets."""
