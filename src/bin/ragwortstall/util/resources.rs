//! Command-line flags for resource amounts.

use ragwortstall::core::model::Resources;
use serde_json::Map;
use serde_json::Value;

use super::parse_cpu_milli;
use super::parse_mem_mib;

/// Amounts of CPU, memory and accelerators.
#[derive(Debug, clap::Args)]
pub struct ResourceArgs {
    /// CPU, in cores such as 2 or 0.5, or in thousandths of a core such as 500m.
    #[arg(long, value_name = "CORES", value_parser = parse_cpu_milli)]
    cpu: Option<u32>,
    /// Memory, such as 512MiB or 4GiB.
    #[arg(long, value_name = "AMOUNT", value_parser = parse_mem_mib)]
    mem: Option<u32>,
    /// Number of accelerators.
    #[arg(long, value_name = "COUNT")]
    accel: Option<u32>,
}

impl ResourceArgs {
    /// Returns the given amounts as fields of a record.
    pub fn fields(&self) -> Map<String, Value> {
        let given = [
            ("cpu_milli", self.cpu),
            ("mem_mib", self.mem),
            ("accel", self.accel),
        ];
        given
            .into_iter()
            .filter_map(|(name, amount)| Some((name.into(), amount?.into())))
            .collect()
    }

    /// Returns the resources of one task; amounts that were not given are zero.
    pub fn task_resources(&self) -> Resources {
        Resources::new(
            self.cpu.unwrap_or(0),
            self.mem.unwrap_or(0),
            self.accel.unwrap_or(0),
            1,
        )
    }
}
