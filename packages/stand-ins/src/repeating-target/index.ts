/** A target that writes earlier refusals and answers once more on its connections. */
export { messageVariants } from './message-variants.js'
export type { MessageVariant, VariantWriter } from './message-variants.js'
export { RepeatingTarget } from './repeating-target.js'
export type { MessageLayout, RepeatingTargetOptions, RepetitionSelector, RunResult } from './repeating-target.js'
export { repetitionPlacements } from './repetition-placements.js'
export type { RepetitionPlacement, RepetitionWrites } from './repetition-placements.js'
export { insertIdHeader, serializeMessage } from './written-message.js'
export type { Framing, Header, IdPosition, WrittenMessage } from './written-message.js'
