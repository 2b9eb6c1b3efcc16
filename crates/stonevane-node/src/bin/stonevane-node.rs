//! The daemon's executable; see `stonevane_node`.

fn main() -> std::process::ExitCode {
    stonevane_node::main()
}
