//! Memory limit of a measurement: at most half of the machine's memory. The check itself is pure.

/// Bytes in a megabyte, the unit of memory in error messages.
const BYTES_PER_MB: u64 = 1 << 20;

/// Memory of the machine, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineMemory {
    /// Total memory (`MemTotal`).
    pub total: u64,
    /// Memory that can be allocated without swapping.
    pub available: u64,
}

impl MachineMemory {
    /// Memory that a measurement may use, in bytes: half of the total, and at most what is available.
    pub fn allowed_bytes(self) -> u64 {
        (self.total / 2).min(self.available)
    }

    /// Parses the text of `/proc/meminfo`; `None` if a field is missing or malformed.
    pub fn parse(meminfo: &str) -> Option<MachineMemory> {
        let field = |name: &str| {
            let line = meminfo.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
            Some(kilobytes * 1024)
        };
        Some(MachineMemory { total: field("MemTotal:")?, available: field("MemAvailable:")? })
    }

    /// Reads the memory of this machine; `None` if `/proc/meminfo` cannot be read.
    pub fn read() -> Option<MachineMemory> {
        Self::parse(&std::fs::read_to_string("/proc/meminfo").ok()?)
    }
}

/// Error of a measurement that needs more memory than its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMuchMemory {
    /// Size that was to be measured, in the role's unit.
    pub size: u64,
    /// Memory that the measurement needs, in bytes.
    pub needed: u64,
    /// Memory limit, in bytes.
    pub allowed: u64,
}

impl std::fmt::Display for TooMuchMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (needed, allowed) = (self.needed / BYTES_PER_MB, self.allowed / BYTES_PER_MB);
        let size = self.size;
        write!(f, "size {size} needs {needed} MB of memory, and at most {allowed} MB may be taken")
    }
}

impl std::error::Error for TooMuchMemory {}

/// Checks the memory `needed` by a measurement of `size` against the limit `allowed`, both in bytes.
///
/// # Errors
/// If `needed` exceeds `allowed`.
pub fn check(size: u64, needed: u64, allowed: u64) -> Result<(), TooMuchMemory> {
    if needed <= allowed { Ok(()) } else { Err(TooMuchMemory { size, needed, allowed }) }
}

/// Resident memory of this process, in bytes; 0 if `/proc/self/status` cannot be read.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
