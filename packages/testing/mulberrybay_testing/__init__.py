"""Stand-ins, a load generator and history checkers for mulberrybay's tests."""
