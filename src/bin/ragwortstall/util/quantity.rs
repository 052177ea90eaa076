//! Parsers for amounts of CPU and memory on the command line.

const MILLI_PER_CORE: f64 = 1_000.0;

/// Result of parsing an amount; the error is a message for the user.
type Result<T, E = String> = std::result::Result<T, E>;

/// Parses cores such as `2` or `0.5`, or thousandths of a core such as `500m`, to thousandths.
pub fn parse_cpu_milli(text: &str) -> Result<u32> {
    if let Some(milli) = text.strip_suffix('m') {
        return milli.parse().map_err(|_| invalid_cpu(text));
    }
    let cores: f64 = text.parse().map_err(|_| invalid_cpu(text))?;
    let milli = (cores * MILLI_PER_CORE).round();
    if !(0.0..=f64::from(u32::MAX)).contains(&milli) {
        return Err(invalid_cpu(text));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range was checked"
    )]
    Ok(milli as u32)
}

/// Parses memory such as `512MiB` or `4GiB`, to MiB.
pub fn parse_mem_mib(text: &str) -> Result<u32> {
    let (digits, factor) = if let Some(digits) = text.strip_suffix("GiB") {
        (digits, 1_024)
    } else if let Some(digits) = text.strip_suffix("MiB") {
        (digits, 1)
    } else {
        return Err(invalid_mem(text));
    };
    let amount: u32 = digits.parse().map_err(|_| invalid_mem(text))?;
    amount.checked_mul(factor).ok_or_else(|| invalid_mem(text))
}

fn invalid_cpu(text: &str) -> String {
    format!("\"{text}\" is not a valid amount of CPU; use, for example, 2, 0.5 or 500m")
}

fn invalid_mem(text: &str) -> String {
    format!("\"{text}\" is not a valid amount of memory; use, for example, 512MiB or 4GiB")
}
