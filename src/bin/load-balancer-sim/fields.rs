//! The fields of a line of the simulator's protocol: separated by single spaces, with `-` for an absent
//! value.

use std::str::FromStr;

use load_balancer::settings::{finite, number};
use load_balancer::RequestId;

use crate::error::{FieldProblem, WireError};

/// Reads the fields of a line from left to right.
pub struct Fields<'a> {
    /// The fields not read yet; `None` after the last one.
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Starts at the first field of a line.
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field; `None` if its value is absent. `name` is for the error only.
    pub fn value(&mut self, name: &'static str) -> Result<Option<&'a str>, WireError> {
        let rest = self.rest.ok_or(WireError::Field {
            name,
            problem: FieldProblem::Missing,
        })?;
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok((field != "-" && !field.is_empty()).then_some(field))
    }

    /// The next field, which must have a value.
    pub fn text(&mut self, name: &'static str) -> Result<&'a str, WireError> {
        self.value(name)?.ok_or(WireError::Field {
            name,
            problem: FieldProblem::Empty,
        })
    }

    /// The next field as a number; `None` if its value is absent.
    pub fn optional<T: FromStr>(&mut self, name: &'static str) -> Result<Option<T>, WireError> {
        let value = self.value(name)?;
        Ok(value.map(|text| number(text, name)).transpose()?)
    }

    /// The next field as a number, which must have a value.
    pub fn number<T: FromStr>(&mut self, name: &'static str) -> Result<T, WireError> {
        Ok(number(self.text(name)?, name)?)
    }

    /// The next field as a flag; an absent value means `false`.
    pub fn flag(&mut self, name: &'static str) -> Result<bool, WireError> {
        match self.value(name)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(WireError::invalid(name, format!("'{other}' is not a bool"))),
        }
    }

    /// The next field as a request id of 36 bytes.
    pub fn request_id(&mut self) -> Result<RequestId, WireError> {
        const NAME: &str = "msg-id";
        let text = self.text(NAME)?;
        let bytes = text
            .as_bytes()
            .try_into()
            .map_err(|_| WireError::invalid(NAME, format!("'{text}' must have 36 characters")))?;
        Ok(RequestId(bytes))
    }

    /// The next field as a load report: finite numbers separated by commas; empty if its value is absent.
    pub fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        const NAME: &str = "load";
        let Some(text) = self.value(NAME)? else {
            return Ok(Vec::new());
        };
        let values: Result<Vec<f64>, _> = text.split(',').map(|part| finite(part, NAME)).collect();
        Ok(values?)
    }

    /// All remaining fields, unsplit.
    pub fn rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    /// Checks that all fields have been read.
    pub fn end(&mut self) -> Result<(), WireError> {
        match self.rest.take() {
            None => Ok(()),
            Some(rest) => Err(WireError::Protocol(format!(
                "more fields than expected: '{rest}'"
            ))),
        }
    }
}
