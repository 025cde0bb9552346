//! Carrying an operator's changes over to a document that another operator has changed since.

use almondpass_schema::model;
use serde_json::{Map, Value};

use crate::canonical;
use crate::changes;

/// A draft carried over.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedDraft {
    /// The newest document with the draft's changes on top. Its rules are not checked.
    pub document: model::ConfigDocument,
    /// Paths that both changed, and differently; the draft's change stands in the document.
    pub both: Vec<String>,
}

/// Puts what `yours` changes of `base` on top of `theirs`.
pub fn carry_over(
    base: &model::ConfigDocument,
    theirs: &model::ConfigDocument,
    yours: &model::ConfigDocument,
) -> MergedDraft {
    let [base_tree, their_tree, your_tree] = [base, theirs, yours].map(canonical::to_value);
    let mut walk = MergeWalk { both: Vec::new() };
    let merged = walk.values("", Some(&base_tree), Some(&their_tree), Some(&your_tree));
    let document = merged.and_then(|it| serde_json::from_value(it).ok());
    // Each member comes whole from one of the documents, so the form is kept; the draft itself
    // is the answer should that ever be wrong, since nothing typed may be lost.
    MergedDraft { document: document.unwrap_or_else(|| yours.clone()), both: walk.both }
}

struct MergeWalk {
    both: Vec<String>,
}

impl MergeWalk {
    fn values(
        &mut self,
        path: &str,
        base: Option<&Value>,
        theirs: Option<&Value>,
        yours: Option<&Value>,
    ) -> Option<Value> {
        if yours == base || yours == theirs {
            return theirs.cloned();
        }
        if theirs == base {
            return yours.cloned();
        }
        match (base, theirs, yours) {
            (
                Some(Value::Object(base)),
                Some(Value::Object(theirs)),
                Some(Value::Object(yours)),
            ) => Some(self.objects(path, base, theirs, yours)),
            (Some(Value::Array(base)), Some(Value::Array(theirs)), Some(Value::Array(yours)))
                if changes::are_named([base, theirs]) && changes::are_named([base, yours]) =>
            {
                Some(self.named_lists(path, base, theirs, yours))
            }
            (Some(Value::Array(base)), Some(Value::Array(theirs)), Some(Value::Array(yours))) => {
                Some(unnamed_lists(base, theirs, yours))
            }
            (_, _, yours) => {
                self.both.push(path.to_owned());
                yours.cloned()
            }
        }
    }

    fn objects(
        &mut self,
        path: &str,
        base: &Map<String, Value>,
        theirs: &Map<String, Value>,
        yours: &Map<String, Value>,
    ) -> Value {
        let mut merged = Map::new();
        for name in canonical::member_names(theirs, yours) {
            let path = changes::member_path(path, name);
            let value = self.values(&path, base.get(name), theirs.get(name), yours.get(name));
            merged.extend(value.map(|it| (name.to_owned(), it)));
        }
        Value::Object(merged)
    }

    fn named_lists(
        &mut self,
        path: &str,
        base: &[Value],
        theirs: &[Value],
        yours: &[Value],
    ) -> Value {
        let names = changes::item_names(theirs, yours).into_iter();
        let merged = names.filter_map(|name| {
            let [base, theirs, yours] = [base, theirs, yours].map(|it| changes::named(it, name));
            self.values(&format!("{path}[{name}]"), base, theirs, yours)
        });
        Value::Array(merged.collect())
    }
}

/// Theirs, without what yours took out and with what yours added.
fn unnamed_lists(base: &[Value], theirs: &[Value], yours: &[Value]) -> Value {
    let kept = theirs.iter().filter(|it| yours.contains(it) || !base.contains(it));
    let added = yours.iter().filter(|it| !base.contains(it) && !theirs.contains(it));
    Value::Array(kept.chain(added).cloned().collect())
}
