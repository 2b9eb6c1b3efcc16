//! Command line that repeats a run of an experiment.

use std::fmt::Write as _;

use crate::matrix::{Cell, Experiment, NO_OPERATOR, UNIT_LOAD_PER_MILLE};
use crate::results::Build;
use crate::runner::{Folder, operator_path, scenario_path};

/// Returns the `stonevane lab run` command line that repeats the run of a cell with a build.
pub(super) fn repeat(experiment: &Experiment, folder: &Folder, cell: &Cell, build: Build) -> String {
    let setting = &cell.setting;
    let scenario = match experiment.is_file(&setting.scenario) {
        true => scenario_path(&folder.path, &setting.scenario).display().to_string(),
        false => setting.scenario.clone(),
    };
    let mut command = format!("stonevane lab run {scenario} --seed {}", cell.seed);
    if let Some(nodes) = setting.nodes {
        let _ = write!(command, " --nodes {nodes}");
    }
    if setting.load_per_mille != UNIT_LOAD_PER_MILLE {
        let _ = write!(command, " --load {}", setting.load());
    }
    if experiment.short {
        command.push_str(" --short");
    }
    if setting.operator != NO_OPERATOR && experiment.has_operator_file(&setting.operator) {
        let path = operator_path(&folder.path, &setting.operator);
        let _ = write!(command, " --operator {}", path.display());
    }
    if let Some(file) = folder.builds.get(build) {
        let _ = write!(command, " --node-program {}", file.path.display());
    }
    command
}
