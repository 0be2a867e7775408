//! Typed reading of TOML tables that records every problem and continues.
//!
//! An invalid value is replaced by a default. The caller discards the result when any problem was
//! recorded, so such a value never leaves the crate.

use std::{cell::RefCell, fmt::Display, ops::RangeInclusive, str::FromStr};

use base::{KeyDigest, Span};
use toml::{
    Spanned,
    de::{DeFloat, DeInteger, DeTable, DeValue},
};

use crate::{duration, problem::ProblemList};

const DIGEST_RULE: &str = "64 hexadecimal digits, the SHA-256 of a key";

/// Replaces a value in problems that may be a key, so that no log or terminal shows it.
const HIDDEN_VALUE: &str = "(not shown)";

/// One table of a document. Keys that no reader requested are reported as unknown by
/// [`Section::finish`].
#[derive(Debug)]
pub(crate) struct Section<'d> {
    problem_list: &'d ProblemList<'d>,
    table: &'d DeTable<'d>,
    path: String,
    // Byte offset of the table, where the problem of a missing key is reported.
    start: usize,
    // Keys that were requested, present or not.
    known: RefCell<Vec<&'static str>>,
}

type SpannedValue<'d> = &'d Spanned<DeValue<'d>>;

impl<'d> Section<'d> {
    pub(crate) const fn root(problem_list: &'d ProblemList<'d>, table: &'d DeTable<'d>) -> Self {
        Self { problem_list, table, path: String::new(), start: 0, known: RefCell::new(Vec::new()) }
    }

    /// Reads a required name: lower-case letters, digits and hyphens.
    pub(crate) fn name(&self, key: &'static str) -> String {
        self.parsed(key, "lower-case letters, digits and hyphens, at most 63", |text| {
            is_name(text).then(|| String::from(text))
        })
    }

    /// Reads a required name that must not be in `taken`, and adds it there.
    pub(crate) fn unique_name(&self, key: &'static str, taken: &mut Vec<String>) -> String {
        let name = self.name(key);
        if !name.is_empty() && taken.contains(&name) {
            self.report(key, "a name that no other entry of this list has");
        }
        taken.push(name.clone());
        name
    }

    /// Reads a required name that must be one of `names`.
    pub(crate) fn reference(&self, key: &'static str, names: &[String]) -> String {
        self.parsed(key, &one_of(names), |text| {
            names.iter().any(|name| name == text).then(|| String::from(text))
        })
    }

    /// Reads an optional name that must be one of `names`.
    pub(crate) fn optional_reference(&self, key: &'static str, names: &[String]) -> Option<String> {
        self.has(key).then(|| self.reference(key, names))
    }

    /// Reads a required string with `parse`. `allowed` describes the accepted values.
    pub(crate) fn parsed<T: Default>(
        &self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        let Some(found) = self.required(key, allowed) else {
            return T::default();
        };
        found.get_ref().as_str().and_then(parse).unwrap_or_else(|| {
            self.report(key, allowed);
            T::default()
        })
    }

    /// Reads a required string with the [`FromStr`] implementation of `T`, for example an address.
    pub(crate) fn required_as<T: FromStr>(&self, key: &'static str, allowed: &str) -> Option<T> {
        self.parsed(key, allowed, |text| text.parse().ok().map(Some))
    }

    /// Reads the required digest of a key.
    pub(crate) fn digest(&self, key: &'static str) -> Option<KeyDigest> {
        let found = self.required(key, DIGEST_RULE)?;
        self.parse_digest(found, &self.path_of(key))
    }

    /// Reads a list of digests of keys. A missing key is an empty list.
    pub(crate) fn digests(&self, key: &'static str) -> Vec<KeyDigest> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            let allowed = format!("a list, each item {DIGEST_RULE}");
            self.problem_list.add(found.span().start, &self.path_of(key), HIDDEN_VALUE, allowed);
            return Vec::new();
        };
        let items = array.iter().enumerate();
        let digests = items.filter_map(|(index, item)| {
            self.parse_digest(item, &format!("{}[{index}]", self.path_of(key)))
        });
        digests.collect()
    }

    /// Parses a digest. The problem does not quote an invalid value, since an operator may have
    /// written the key itself.
    fn parse_digest(&self, found: SpannedValue<'d>, path: &str) -> Option<KeyDigest> {
        let digest = found.get_ref().as_str().and_then(|text| KeyDigest::parse(text).ok());
        if digest.is_none() {
            self.problem_list.add(found.span().start, path, HIDDEN_VALUE, DIGEST_RULE);
        }
        digest
    }

    /// Reads a list of strings with `parse`. A missing key is an empty list.
    pub(crate) fn list_of<T>(
        &self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            self.report(key, format!("a list, each item {allowed}"));
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in array.iter().enumerate() {
            match item.get_ref().as_str().and_then(&parse) {
                Some(value) => values.push(value),
                None => {
                    let path = format!("{}[{index}]", self.path_of(key));
                    self.problem_list.add_value(&item.span(), &path, allowed);
                }
            }
        }
        values
    }

    /// Reads a required integer within `range`.
    pub(crate) fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        let allowed = format!("an integer from {} to {}", range.start(), range.end());
        let Some(found) = self.required(key, &allowed) else {
            return 0;
        };
        let number = found.get_ref().as_integer().and_then(|integer| {
            u64::from_str_radix(integer.as_str(), integer.radix())
                .ok()
                .filter(|number| range.contains(number))
        });
        number.unwrap_or_else(|| {
            self.report(key, allowed);
            0
        })
    }

    /// Reads an integer within `range`, or `default` when the key is missing.
    pub(crate) fn integer_or(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        if self.has(key) { self.integer(key, range) } else { default }
    }

    /// Reads a required integer within `range`, as 32 bits.
    pub(crate) fn integer_u32(&self, key: &'static str, range: RangeInclusive<u32>) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        u32::try_from(self.integer(key, range)).unwrap_or_default()
    }

    /// Reads a floating-point number or an integer within `range`, or `default` when the key is
    /// missing.
    pub(crate) fn number_or(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(found) = self.optional(key) else {
            return default;
        };
        let value = found.get_ref();
        let text = value.as_float().map(DeFloat::as_str);
        let text = text.or_else(|| value.as_integer().map(DeInteger::as_str));
        let number = text.and_then(|text| text.parse::<f64>().ok());
        number.filter(|number| range.contains(number)).unwrap_or_else(|| {
            self.report(key, format!("a number from {} to {}", range.start(), range.end()));
            default
        })
    }

    /// Reads `true` or `false`, or `default` when the key is missing.
    pub(crate) fn bool_or(&self, key: &'static str, default: bool) -> bool {
        let Some(found) = self.optional(key) else {
            return default;
        };
        found.get_ref().as_bool().unwrap_or_else(|| {
            self.report(key, "true or false");
            default
        })
    }

    /// Reads a required duration within `range`.
    pub(crate) fn duration(&self, key: &'static str, range: RangeInclusive<Span>) -> Span {
        let allowed = format!(
            "a length of time from \"{}\" to \"{}\" with one of the units us, ms, s, m, h",
            duration::render(*range.start()),
            duration::render(*range.end()),
        );
        self.parsed(key, &allowed, |text| {
            duration::parse(text).filter(|span| range.contains(span)).map(ParsedSpan)
        })
        .0
    }

    /// Reads a duration within `range`, or `default` when the key is missing.
    pub(crate) fn duration_or(
        &self,
        key: &'static str,
        range: RangeInclusive<Span>,
        default: Span,
    ) -> Span {
        if self.has(key) { self.duration(key, range) } else { default }
    }

    /// Reads a required string that must be one of the names in `choices`. An invalid one yields
    /// the first choice.
    pub(crate) fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> T {
        let names = choices.iter().map(|(name, _)| String::from(*name)).collect::<Vec<_>>();
        let index = self.parsed(key, &one_of(&names), |text| {
            choices.iter().position(|(name, _)| *name == text)
        });
        choices[index].1
    }

    /// Reads a string that must be one of the names in `choices`, or `default` when the key is
    /// missing.
    pub(crate) fn choice_or<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> T {
        if self.has(key) { self.choice(key, choices) } else { default }
    }

    /// Reads a table with `read`. A missing key is an empty table, of which required keys are
    /// reported.
    pub(crate) fn table<T>(&self, key: &'static str, read: impl FnOnce(&Section<'_>) -> T) -> T {
        let empty = DeTable::new();
        let mut table = &empty;
        let mut start = self.start;
        if let Some(found) = self.optional(key) {
            start = found.span().start;
            match found.get_ref().as_table() {
                Some(inner) => table = inner,
                None => self.report(key, "a table"),
            }
        }
        let section = Section {
            problem_list: self.problem_list,
            table,
            path: self.path_of(key),
            start,
            known: RefCell::default(),
        };
        let value = read(&section);
        section.finish();
        value
    }

    /// Reads each table of a list with `read`. A missing key is an empty list.
    pub(crate) fn tables<T>(
        &self,
        key: &'static str,
        mut read: impl FnMut(&Section<'_>) -> T,
    ) -> Vec<T> {
        let Some(found) = self.optional(key) else {
            return Vec::new();
        };
        let Some(array) = found.get_ref().as_array() else {
            self.report(key, format!("a list of tables, written as [[{}]]", self.path_of(key)));
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            let Some(table) = item.get_ref().as_table() else {
                self.problem_list.add_value(&item.span(), &path, "a table");
                continue;
            };
            let start = item.span().start;
            let problem_list = self.problem_list;
            let section = Section { problem_list, table, path, start, known: RefCell::default() };
            values.push(read(&section));
            section.finish();
        }
        values
    }

    /// Records a problem with a key: at its value, or at the start of the table when the key is
    /// missing.
    pub(crate) fn report(&self, key: &'static str, allowed: impl Into<String>) {
        match self.table.get(key) {
            Some(found) => self.problem_list.add_value(&found.span(), &self.path_of(key), allowed),
            None => self.problem_list.add(self.start, &self.path_of(key), "", allowed),
        }
    }

    /// Returns whether the key is present.
    pub(crate) fn has(&self, key: &'static str) -> bool {
        self.optional(key).is_some()
    }

    /// Reports the keys of the table that no reader requested. Called after all of them were read.
    pub(crate) fn finish(&self) {
        let known = self.known.borrow();
        for (key, _) in self.table {
            if known.iter().any(|name| *name == key.get_ref().as_ref()) {
                continue;
            }
            let allowed = format!("one of the keys {}", known.join(", "));
            let path = self.path_of(key.get_ref());
            self.problem_list.add(key.span().start, &path, "(unknown key)", allowed);
        }
    }

    fn required(&self, key: &'static str, allowed: &str) -> Option<SpannedValue<'d>> {
        let found = self.optional(key);
        if found.is_none() {
            let allowed = format!("{allowed}; the key is required");
            self.problem_list.add(self.start, &self.path_of(key), "", allowed);
        }
        found
    }

    fn optional(&self, key: &'static str) -> Option<SpannedValue<'d>> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&key) {
            known.push(key);
        }
        self.table.get(key)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { String::from(key) } else { format!("{}.{key}", self.path) }
    }
}

/// A duration whose default is zero, which [`Section::parsed`] requires and [`Span`] lacks.
struct ParsedSpan(Span);

impl Default for ParsedSpan {
    fn default() -> Self {
        Self(Span::ZERO)
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= 63 && text.bytes().all(allowed)
}

fn one_of<T: Display>(names: &[T]) -> String {
    if names.is_empty() {
        return String::from("nothing, since the document lists no such entry");
    }
    let names = names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>();
    format!("one of {}", names.join(", "))
}
