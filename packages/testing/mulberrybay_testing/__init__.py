"""Stand-ins, a load tool and checkers for the tests of mulberrybay."""
