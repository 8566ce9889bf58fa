//! Quantities with units, in the text form of the settings, the register and the rules.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};

use crate::error::ValueError;

/// Implements the conversions with which serde reads and writes a type in its text form.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = ValueError;

            fn try_from(text: String) -> Result<Self, ValueError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}

/// Longest time that a document may set. Sums and small multiples of it don't overflow.
pub const MAX_TIME_SPAN: Duration = Duration::from_hours(24 * 366);

/// A duration, written with its unit: `250ms`, `5s`, `10m`.
///
/// Invariant: if it was parsed, at most [`MAX_TIME_SPAN`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(pub Duration);

impl TimeSpan {
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl FromStr for TimeSpan {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let span = humantime::parse_duration(text).ok();
        span.filter(|span| *span <= MAX_TIME_SPAN)
            .map(Self)
            .ok_or_else(|| ValueError::new(text, "a duration with its unit, such as 250ms or 5s"))
    }
}

serde_as_text!(TimeSpan);

/// Converts seconds to a duration. Negative values become zero and too large ones
/// [`MAX_TIME_SPAN`].
pub fn bounded_seconds(seconds: f64) -> Duration {
    let bounded = seconds.clamp(0.0, MAX_TIME_SPAN.as_secs_f64());
    // Fails only if the value is not a number.
    Duration::try_from_secs_f64(bounded).unwrap_or_default()
}

/// A number of bytes, written with its unit: `64KiB`, `1MiB`, `512B`.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, scale) = SIZE_UNITS
            .into_iter()
            .find(|&(_, scale)| self.0 >= scale && self.0.is_multiple_of(scale))
            .unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / scale)
    }
}

impl FromStr for ByteSize {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let invalid = || ValueError::new(text, "a size with its unit, such as 64KiB or 1MiB");
        let (unit, scale) = SIZE_UNITS
            .into_iter()
            .find(|(unit, _)| text.ends_with(unit))
            .ok_or_else(invalid)?;
        let number = text[..text.len() - unit.len()].trim();
        let count: u64 = number.parse().map_err(|_| invalid())?;
        count.checked_mul(scale).map(Self).ok_or_else(invalid)
    }
}

serde_as_text!(ByteSize);

/// A fraction of a whole, written as a percentage: `25%`.
///
/// Invariant: between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShareRatio(f64);

impl ShareRatio {
    /// Converts a percentage; a value above 100 counts as 100.
    pub fn from_percent(percent: u8) -> Self {
        Self(f64::from(percent.min(100)) / 100.0)
    }

    /// Returns the fraction, between 0 and 1.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ShareRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", (self.0 * 1e6).round() / 1e4)
    }
}

impl FromStr for ShareRatio {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let invalid = || ValueError::new(text, "a share in per cent, such as 25%");
        let number = text.strip_suffix('%').ok_or_else(invalid)?;
        let percent: f64 = number.trim().parse().map_err(|_| invalid())?;
        if (0.0..=100.0).contains(&percent) {
            Ok(Self(percent / 100.0))
        } else {
            Err(invalid())
        }
    }
}

serde_as_text!(ShareRatio);

/// How long an upstream wants no requests after it has turned one away, written in seconds: `1.5`. A
/// negative number is no time, and a larger one than [`RetryDelay::MAX`] counts as that.
///
/// Invariant: at most [`RetryDelay::MAX`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct RetryDelay(Duration);

impl RetryDelay {
    /// Longest delay that counts. An upstream that still wants nothing then says so again.
    pub const MAX: Self = Self(Duration::from_mins(2));

    /// The delay where an upstream names a date or something else that can't be read.
    pub const UNREADABLE: Self = Self(Duration::from_secs(1));

    /// Converts a duration; a longer one than [`Self::MAX`] counts as that.
    pub fn new(delay: Duration) -> Self {
        Self(delay).min(Self::MAX)
    }

    pub fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for RetryDelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl FromStr for RetryDelay {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let seconds: Option<f64> = text.trim().parse().ok();
        seconds
            .filter(|seconds| seconds.is_finite())
            .map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, Self::MAX.0.as_secs_f64())))
            .map(Self)
            .ok_or_else(|| ValueError::new(text, "a number of seconds, such as 1.5"))
    }
}

serde_as_text!(RetryDelay);

/// A number of requests per second.
///
/// Invariant: finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Converts thousandths of a request per second.
    pub fn from_milli(milli: u32) -> Self {
        Self(f64::from(milli) / 1000.0)
    }

    /// Returns the rate in thousandths of a request per second, rounded down.
    pub fn milli(self) -> u32 {
        (self.0 * 1000.0) as u32
    }

    /// Returns the number of requests per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let rate: Option<f64> = text.trim().parse().ok();
        rate.filter(|rate| rate.is_finite() && *rate >= 0.0)
            .map(Self)
            .ok_or_else(|| ValueError::new(text, "a number of requests per second, such as 2.5"))
    }
}

serde_as_text!(RequestRate);

/// The time that work takes on a host now, in per cent of the usual time.
///
/// Invariant: from 1 to [`WorkPace::MAX`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct WorkPace(u16);

impl WorkPace {
    /// Work takes its usual time.
    pub const USUAL: Self = Self(100);

    /// Slowest pace that counts; a larger number counts as this one.
    pub const MAX: Self = Self(2000);

    /// Returns the time that work takes, relative to the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for WorkPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WorkPace {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let percent: Option<f64> = text.trim().parse().ok();
        percent
            .filter(|percent| percent.is_finite() && *percent >= 1.0)
            .map(|percent| Self(percent.min(f64::from(Self::MAX.0)) as u16))
            .ok_or_else(|| ValueError::new(text, "a positive number of per cent, such as 250"))
    }
}

serde_as_text!(WorkPace);

/// A number of a document that may be written with a fraction or an exponent, such as `2.0` or `1e3`. It is
/// cut to a whole one, and a negative one to 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WholeNumber(u64);

impl WholeNumber {
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number, or the largest one of the type if it is larger.
    pub fn to_u8(self) -> u8 {
        self.0.min(u8::MAX.into()) as u8
    }

    /// The number, or the largest one of the type if it is larger.
    pub fn to_u32(self) -> u32 {
        self.0.min(u32::MAX.into()) as u32
    }
}

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = serde_json::Number::deserialize(deserializer)?;
        let whole = number.as_u64();
        // The conversion keeps to the bounds of the type.
        let cut = || number.as_f64().unwrap_or_default() as u64;
        Ok(Self(whole.unwrap_or_else(cut)))
    }
}
