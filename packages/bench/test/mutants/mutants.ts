import type { RuleName } from 'auburnturn'

/** Replacement of one piece of source code. */
export interface SourceEdit {
  /** Relative to `packages/auburnturn/src/core`. */
  readonly file: string
  /** Source code that occurs exactly once in the file. */
  readonly find: string
  readonly replace: string
}

/** A deliberate fault in the code that violates one rule and that the matrix has to detect. */
export interface Mutant {
  readonly name: string
  /** The rule that the mutant violates. */
  readonly rule: RuleName
  readonly edits: readonly SourceEdit[]
}

/** At least one mutant for each rule. */
export const mutants: readonly Mutant[] = [
  {
    name: 'retry a non-idempotent call after "may have run"',
    rule: 'at-most-once',
    edits: [{ file: 'verdict/verdict.ts', find: "case 'may-have-run': return idempotent", replace: "case 'may-have-run': return idempotent || true" }]
  },
  {
    name: 'forget the ticket on refusal',
    rule: 'at-most-once',
    edits: [{
      file: 'ledger/ledger.ts',
      find: "refuse: (cause, successor) => { end({ kind: 'refused', cause, successor }) }",
      replace: 'refuse: () => { this.serials.set(serial, false); end(undefined) }'
    }]
  },
  {
    name: 'report a successor that is not recorded',
    rule: 'at-most-once',
    edits: [{ file: 'target/ticketed-calls.ts', find: 'claim.refuse(cause, successor)', replace: 'claim.release()' }]
  },
  {
    name: 'forget that a ticket was used once its call has ended',
    rule: 'at-most-once',
    edits: [{ file: 'ledger/ledger.ts', find: "complete: answer => { end(answer === undefined ? undefined : { kind: 'done', answer }) }", replace: 'complete: () => { this.serials.set(serial, false); end(undefined) }' }]
  },
  {
    name: 'report "not run" for a connection that was lost after the request was sent',
    rule: 'true-refusal',
    edits: [{ file: 'http/attempt.ts', find: "return mayHaveRun(invalidHeadErrors.has(error.name) ? 'answer-invalid' : 'connection-lost')", replace: "return notRun('connect-failed')" }]
  },
  {
    name: 'let a later refusal override an attempt that may have run',
    rule: 'true-refusal',
    edits: [{ file: 'verdict/verdict.ts', find: "return earlier.kind === 'may-have-run' ? earlier : later", replace: 'return later' }]
  },
  {
    name: 'treat a ticket of another incarnation as unused',
    rule: 'true-refusal',
    edits: [
      { file: 'ledger/ledger.ts', find: "return { kind: 'foreign' }", replace: "return { kind: 'invalid', cause: 'ticket-refused' }" },
      { file: 'router/ticketed.ts', find: 'incarnation === ticket.incarnation && successor === undefined', replace: 'incarnation !== undefined && successor === undefined' }
    ]
  },
  {
    name: 'forward a truncated answer as complete',
    rule: 'whole-answer',
    edits: [{ file: 'http/attempt.ts', find: 'if (this.options.answer.started) this.options.answer.cut()', replace: 'if (this.options.answer.started) this.options.answer.end([])' }]
  },
  {
    name: 'accept an older version of a configuration entry',
    rule: 'configuration-forward',
    edits: [{ file: 'configuration/edition.ts', find: "if (offered.version < held.version) return 'older'", replace: "if (offered.version < held.version) return 'newer'" }]
  },
  {
    name: 'keep sending work to a target that is leaving',
    rule: 'no-work-after-leave',
    edits: [{ file: 'admission/admission.ts', find: "this.state = 'draining'", replace: "this.state = 'serving'" }]
  },
  {
    name: 'exceed the measuring budget',
    rule: 'measuring-budget',
    edits: [{ file: 'measuring/budget.ts', find: 'return 1_000 / (perSecond < 1 ?', replace: 'return 10 + 0 * (perSecond < 1 ?' }]
  },
  {
    name: 'abort the calls in flight on shutdown',
    rule: 'drain-cuts-nothing',
    edits: [
      { file: 'node/node.ts', find: 'drain.newWorkMs)\n    await tracker.waitUntilUpstreamIdle()', replace: 'drain.newWorkMs)' },
      { file: 'node/node.ts', find: 'if (this.started) await clock.sleep(idleConnectionGraceMs)\n    await tracker.waitUntilIdle()', replace: '' },
      { file: 'node/node.ts', find: 'await tracker.waitUntilUpstreamIdle()\n    tracker.refuseNewCalls()', replace: 'tracker.refuseNewCalls()' },
      { file: 'http/listener.ts', find: 'this.server.closeIdleConnections()\n    for', replace: 'this.server.closeAllConnections()\n    for' }
    ]
  }
]
