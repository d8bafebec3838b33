# modules prints the modules of the workspace in go.work.
modules() { sed -n 's|^[[:space:]]*\./\([a-z0-9]*\)$|\1|p' go.work; }
