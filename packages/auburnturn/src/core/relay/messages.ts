import { create } from '@bufbuild/protobuf'
import { hashText } from '../configuration/index.js'
import type { Digest, Entry, Freshness } from '../configuration/index.js'
import { CompareRequestSchema, EntrySchema, FreshnessSchema, NoticeSchema, VersionSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, Entry as EntryMessage, Freshness as FreshnessMessage, Notice as NoticeMessage, Version } from '../control/gen/auburnturn/v1/relay_pb.js'
import { noticeKinds } from '../notices/index.js'
import type { Notice, Notices } from '../notices/index.js'

/** Largest age that fits into a uint32 field, in milliseconds. */
const maxAgeMs = 0xffff_ffff

/** Converts an entry to its protobuf message. */
export function encodeEntry ({ key, version, text, good }: Entry): EntryMessage {
  return create(EntrySchema, {
    key,
    version: BigInt(version),
    ...(text === undefined ? {} : { text }),
    ...(good === undefined ? {} : { good: { version: BigInt(good.version), text: good.text } })
  })
}

/** Converts a protobuf message to the entry. */
export function decodeEntry ({ key, version, text, good }: EntryMessage): Entry {
  const entry: Entry = { key, version: Number(version), text }
  return good === undefined ? entry : { ...entry, good: { version: Number(good.version), text: good.text } }
}

/** Converts an entry to its version message: both versions and a checksum of the text, without the text. */
export function encodeVersion ({ key, version, text, good }: Entry): Version {
  return create(VersionSchema, { key, version: BigInt(version), good: BigInt(good?.version ?? 0), check: computeChecksum(text) })
}

/** Compares the entry `held` with a peer's version. The peer is behind and ahead if one version has two texts. */
export function compareVersion (held: Entry, peerVersion: Version): { isPeerBehind: boolean, isPeerAhead: boolean } {
  const version = Number(peerVersion.version)
  const good = Number(peerVersion.good)
  const heldGood = held.good?.version ?? 0
  const conflict = version === held.version && peerVersion.check !== computeChecksum(held.text)
  return { isPeerBehind: held.version > version || heldGood > good || conflict, isPeerAhead: version > held.version || good > heldGood || conflict }
}

/** Converts a notice to its protobuf message, with the remaining time instead of the expiry time. */
export function encodeNotice ({ kind, subject, expiresAt }: Notice, now: number): NoticeMessage {
  return create(NoticeSchema, { kind, subject, remainingMs: Math.max(0, Math.round(expiresAt - now)) })
}

/** Adds the notices of a message and ignores those of unknown kinds. */
export function addNotices (notices: Notices, messages: readonly NoticeMessage[]): void {
  for (const { kind, subject, remainingMs } of messages) {
    const knownKind = noticeKinds.find(one => one === kind)
    if (knownKind !== undefined) notices.add(knownKind, subject, remainingMs)
  }
}

/** A hash over all notices that have not expired, independent of their order. */
export function digestNotices (notices: Notices): bigint {
  return notices.list().reduce((sum, { kind, subject }) => sum ^ hashText(`${kind}/${subject}`), 0n)
}

/** Converts the freshness to its protobuf message; unknown ages are left out. */
export function encodeFreshness ({ confirmedAgeMs: confirmedMs, platformContactAgeMs: heardMs, ownAnswerAgeMs: answeredMs }: Freshness): FreshnessMessage {
  return create(FreshnessSchema, {
    ...(confirmedMs === undefined ? {} : { confirmedMs: clampAge(confirmedMs) }),
    ...(heardMs === undefined ? {} : { heardMs: clampAge(heardMs) }),
    ...(answeredMs === undefined ? {} : { answeredMs: clampAge(answeredMs) })
  })
}

/** Applies the freshness that a peer reported; its confirmation counts only when both nodes hold the same state. */
export function updateFreshness (freshness: Freshness, reported: FreshnessMessage | undefined, isEqual: boolean): void {
  if (reported?.heardMs !== undefined) freshness.recordPlatformContact(reported.heardMs)
  if (isEqual && reported?.confirmedMs !== undefined) freshness.confirm('peer', reported.confirmedMs)
}

/** The digests and the freshness of this node's state, sent to a peer for comparison. */
export function createCompareRequest (sender: string, digest: Digest, notices: Notices, freshness: Freshness): CompareRequest {
  return create(CompareRequestSchema, { sender, digest: digest.total, notices: digestNotices(notices), freshness: encodeFreshness(freshness) })
}

/** The low 32 bits of the hash of a text, which distinguishes two texts of one version; 0 for a removed entry. */
function computeChecksum (text: string | undefined): number {
  return text === undefined ? 0 : Number(BigInt.asUintN(32, hashText(text)))
}

function clampAge (ageMs: number): number {
  return Math.min(maxAgeMs, Math.max(0, Math.round(ageMs)))
}
