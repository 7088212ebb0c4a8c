"""The HTTP interface of mulberrybay towards callers."""
