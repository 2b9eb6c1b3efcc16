//! The node as a program: see `stonevane_node`.

fn main() -> std::process::ExitCode {
    stonevane_node::main()
}
