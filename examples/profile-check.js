/** Checks a profile before it is published, as `auburnturn check` does. */
import { findProfileRisks, formatProblem, locateKey, parseDocument, profileSchema } from 'auburnturn'

const profiles = {
  'typo.jsonc': `{
  "note": "Bulk orders.",
  "retry": { "atempts": 3 }
}`,
  'risky.jsonc': `{
  "note": "Bulk orders.",
  // Somebody wanted retries for everything.
  "idempotency": { "methods": ["GET", "POST"] }
}`
}

for (const [file, text] of Object.entries(profiles)) {
  const parsed = parseDocument(text, profileSchema)
  if (parsed.kind === 'invalid') {
    for (const problem of parsed.problems) console.log(formatProblem(file, problem))
    continue
  }
  for (const { path, message } of findProfileRisks(parsed.value)) {
    console.log(formatProblem(file, { ...locateKey(text, path), key: path.join('.'), message: `warning: ${message}` }))
  }
}
