import { messageVariants, repetitionPlacements, serializeMessage } from '@auburnturn/stand-ins'
import type { Framing, IdPosition, MessageLayout, MessageVariant, RepetitionPlacement, RepetitionWrites, WrittenMessage } from '@auburnturn/stand-ins'
import { Random } from 'auburnturn/core/random'

/** Share of the requests that the target refuses, so that there are refusals to write once more. */
const refusedShare = 0.2

/** Share of the runs that the target answers with status 500. */
const failedShare = 0.05

/** Share of the answers around which an earlier message is written once more, if there is one. */
const repeatedShare = 0.8

/** Share of the repetitions whose message is not changed. */
const unchangedShare = 0.6

const headEnd = '\r\n\r\n'
const kinds: ReadonlyArray<WrittenMessage['kind']> = ['refusal', 'answer']
const placements = Object.keys(repetitionPlacements) as RepetitionPlacement[]
const variants = Object.keys(messageVariants) as MessageVariant[]
const idPositions: readonly IdPosition[] = ['first', 'middle', 'last']

/** Framings that mark the end of an answer. What follows an answer without one is a part of it for every receiver. */
const framings: readonly Framing[] = ['length', 'chunked']

/** Chooses, by a seed, what a target refuses, what fails there, and what it writes once more in which form. */
export class RepetitionFault {
  private readonly random: Random

  private constructor (seed: number) {
    this.random = Random.create(seed)
  }

  static create (seed: number): RepetitionFault {
    return new RepetitionFault(seed)
  }

  /** Whether the next request is refused. */
  refuses (): boolean {
    return this.random.fraction() < refusedShare
  }

  /** Status of the next run. */
  chooseStatus (): number {
    return this.random.fraction() < failedShare ? 500 : 200
  }

  chooseLayout (): MessageLayout {
    return { idPosition: this.choose(idPositions), framing: this.choose(framings) }
  }

  /** What is written once more around the next answer, by the id of its request; undefined for nothing. */
  selectRepetition (earlier: readonly WrittenMessage[]): ((presentId: string) => RepetitionWrites) | undefined {
    const kind = this.choose(kinds)
    const message = earlier.filter(({ kind: other }) => other === kind).at(-1)
    if (message === undefined || this.random.fraction() >= repeatedShare) return undefined
    const place = repetitionPlacements[this.choose(placements)]
    const write = messageVariants[this.random.fraction() < unchangedShare ? 'unchanged' : this.choose(variants)]
    const cut = 1 + this.random.integerBelow(serializeMessage(message).indexOf(headEnd))
    return presentId => place(write(message, presentId), cut)
  }

  private choose<Value> (values: readonly Value[]): Value {
    return values[this.random.integerBelow(values.length)] as Value
  }
}
