//! Compares what callers sent and got with what members ran and answered.

use std::collections::HashMap;

use crate::client::Answer;
use crate::line_feeds::comparable;
use crate::member::Handle;

/// The statements of callers, by unique ids.
#[derive(Default)]
pub struct Records {
    texts: HashMap<String, String>,
    /// Answers to reads, writes and commits that succeeded.
    answers: HashMap<String, Answer>,
}

impl Records {
    pub fn record_text(&mut self, id: &str, text: &str) {
        self.texts.insert(id.to_owned(), text.to_owned());
    }

    pub fn record_answer(&mut self, id: &str, answer: &Answer) {
        // A box may answer BEGIN itself.
        let is_begin = self.texts[id].starts_with("BEGIN");
        if answer.error.is_none() && !is_begin {
            self.answers.insert(id.to_owned(), answer.clone());
        }
    }

    /// Returns the number of answers whose digest and rows no member sent for their statement.
    pub fn count_mixed(&self, members: &[Handle]) -> usize {
        let sent: Vec<_> = members.iter().flat_map(Handle::sent).collect();
        let mut own: HashMap<&str, Vec<_>> = HashMap::new();
        for sent in sent.iter().filter(|sent| !sent.duplicate) {
            own.entry(&sent.id).or_default().push(sent);
        }
        let is_own = |id: &str, answer: &Answer| {
            let mut own = own.get(id).into_iter().flatten();
            own.any(|sent| sent.digest() == answer.digest.as_deref() && sent.rows == answer.rows)
        };
        let answers = self.answers.iter();
        answers.filter(|(id, answer)| !is_own(id, answer)).count()
    }

    /// Returns the number of statements that members received under a caller's id, but not with the
    /// text that the caller sent.
    pub fn count_unasked(&self, members: &[Handle]) -> usize {
        let asked = |id: &str, text: &str| {
            let sent = self.texts.get(id);
            sent.is_some_and(|sent| comparable(sent) == comparable(text))
        };
        let unasked = members.iter().map(|member| {
            let statements = member.caller_statements.lock();
            let statements = statements.expect("no panic under the lock");
            let unasked = statements.iter().filter(|s| !asked(&s.id, &s.text));
            unasked.count()
        });
        unasked.sum()
    }
}
