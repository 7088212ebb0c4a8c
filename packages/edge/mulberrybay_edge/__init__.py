"""An edge node: accepts requests and sends them to backend servers itself."""
