import { messageVariants, repetitionPlacements } from '@auburnturn/stand-ins'
import type { MessageVariant, RepetitionPlacement } from '@auburnturn/stand-ins'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RepetitionTrial } from './fixtures/repetition-trial.js'
import type { RepetitionForm } from './fixtures/repetition-trial.js'

const test = suite('repeated answers')

/** Requests of each form, and of those that cut a message, of which few cuts do harm. */
const requestsOfForm = 40
const requestsOfCutForm = 160

const kinds = ['refusal', 'answer'] as const
const placements = Object.keys(repetitionPlacements) as RepetitionPlacement[]
const variants = (Object.keys(messageVariants) as MessageVariant[]).filter(variant => variant !== 'unchanged')

let trial: RepetitionTrial

test.before(async () => { trial = await RepetitionTrial.create(1) })
test.after(async () => { await trial.close() })

async function assertUnbroken (forms: readonly RepetitionForm[], requests: number): Promise<void> {
  const broken: string[] = []
  for (const form of forms) {
    const { repetitions, refused, twice, mixed, examples } = await trial.play(form, requests)
    assert.ok(repetitions > 0, `no ${form.kind} was written once more`)
    if (refused + twice + mixed > 0) broken.push(`${form.kind}: ${refused} REFUSED, ${twice} TWICE, ${mixed} MIXED of ${requests} requests, ${repetitions} repetitions: ${examples.join('; ')}`)
  }
  assert.equal(broken, [])
}

for (const placement of placements) {
  // Guards against an earlier message that is believed for its place on the connection (REFUSED, TWICE, MIXED; issue 29).
  test(`an earlier refusal or answer, written once more ${placement}, is believed for no other request`, async () => {
    const requests = isCut(placement) ? requestsOfCutForm : requestsOfForm
    await assertUnbroken(kinds.map(kind => ({ kind, variant: 'unchanged', placement })), requests)
  })
}

for (const variant of variants) {
  // Guards against an earlier message that is believed since its head was changed (REFUSED, TWICE, MIXED; issue 29).
  test(`an earlier refusal or answer, written once more as ${variant}, is believed for no other request`, async () => {
    await assertUnbroken(kinds.map(kind => ({ kind, variant, placement: 'at-read' })), requestsOfForm)
  })
}

/** Whether a message breaks off, or stands at some offset inside another one. */
function isCut (placement: RepetitionPlacement): boolean {
  return placement.startsWith('half-') || placement === 'inside-answer'
}

test.run()
