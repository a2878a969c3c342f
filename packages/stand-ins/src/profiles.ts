/** The ready profiles that the platform stand-in publishes, as JSON with comments. */
export const shippedProfiles: Readonly<Record<string, string>> = {
  'catalogue-pages': `{
  // Browsing may wait a moment; it gives way to orders and internal checks.
  "note": "Catalogue and slot board pages. Safe to shed first. Ask the day shift before raising timeouts.",
  "class": "browse",
  "timeouts": { "callMs": 8000, "queueMs": 1000 }
}`,
  orders: `{
  // A repeated order ships twice: nothing here is idempotent but reading.
  "note": "Bulk orders and bookings. Must never repeat. Do not mark POST as idempotent.",
  "class": "critical",
  "timeouts": { "callMs": 10000, "queueMs": 2000 }
}`,
  'internal-checks': `{
  "note": "Price, stock and harvest lookups between services. Keep them short: every page waits for them.",
  "class": "internal",
  "timeouts": { "callMs": 1000, "queueMs": 100 }
}`
}
