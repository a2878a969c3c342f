import { create } from '@bufbuild/protobuf'
import { hashText } from '../configuration/index.js'
import type { Digest, Entry, Freshness } from '../configuration/index.js'
import { CompareRequestSchema, EntrySchema, FreshnessSchema, NoticeSchema, VersionSchema } from '../control/gen/auburnturn/v1/relay_pb.js'
import type { CompareRequest, Entry as EntryMessage, Freshness as FreshnessMessage, Notice as NoticeMessage, Version } from '../control/gen/auburnturn/v1/relay_pb.js'
import { noticeKinds } from '../notices/index.js'
import type { Notice, Notices } from '../notices/index.js'

const maxAgeMs = 0xffff_ffff

/** The wire form of an entry. */
export function packEntry ({ key, version, text, good }: Entry): EntryMessage {
  return create(EntrySchema, {
    key,
    version: BigInt(version),
    ...(text === undefined ? {} : { text }),
    ...(good === undefined ? {} : { good: { version: BigInt(good.version), text: good.text } })
  })
}

/** The entry of a message. */
export function unpackEntry ({ key, version, text, good }: EntryMessage): Entry {
  const entry: Entry = { key, version: Number(version), text }
  return good === undefined ? entry : { ...entry, good: { version: Number(good.version), text: good.text } }
}

/** What identifies an entry's edition without its text. */
export function packVersion ({ key, version, text, good }: Entry): Version {
  return create(VersionSchema, { key, version: BigInt(version), good: BigInt(good?.version ?? 0), check: checkOf(text) })
}

/** How the entry `held` stands to the version that a peer has. */
export function compareVersion (held: Entry, theirs: Version): { lacks: boolean, ahead: boolean } {
  const version = Number(theirs.version)
  const good = Number(theirs.good)
  const own = held.good?.version ?? 0
  const clash = version === held.version && theirs.check !== checkOf(held.text)
  return { lacks: held.version > version || own > good || clash, ahead: version > held.version || good > own || clash }
}

/** The wire form of a notice. */
export function packNotice ({ kind, subject, expiresAt }: Notice, now: number): NoticeMessage {
  return create(NoticeSchema, { kind, subject, remainingMs: Math.max(0, Math.round(expiresAt - now)) })
}

/** Takes the notices of a message, but for kinds it does not know. */
export function takeNotices (notices: Notices, messages: readonly NoticeMessage[]): void {
  for (const { kind, subject, remainingMs } of messages) {
    const known = noticeKinds.find(one => one === kind)
    if (known !== undefined) notices.add(known, subject, remainingMs)
  }
}

/** One hash over the notices in force, whatever their order. */
export function digestNotices (notices: Notices): bigint {
  return notices.list().reduce((sum, { kind, subject }) => sum ^ hashText(`${kind}/${subject}`), 0n)
}

export function packFreshness ({ confirmedAgeMs: confirmedMs, platformContactAgeMs: heardMs, ownAnswerAgeMs: answeredMs }: Freshness): FreshnessMessage {
  return create(FreshnessSchema, {
    ...(confirmedMs === undefined ? {} : { confirmedMs: clampAge(confirmedMs) }),
    ...(heardMs === undefined ? {} : { heardMs: clampAge(heardMs) }),
    ...(answeredMs === undefined ? {} : { answeredMs: clampAge(answeredMs) })
  })
}

/** Takes a peer's word; its confirmation counts only when both hold the same. */
export function takeFreshness (freshness: Freshness, told: FreshnessMessage | undefined, equal: boolean): void {
  if (told?.heardMs !== undefined) freshness.recordPlatformContact(told.heardMs)
  if (equal && told?.confirmedMs !== undefined) freshness.confirm('peer', told.confirmedMs)
}

export function describeState (sender: string, digest: Digest, notices: Notices, freshness: Freshness): CompareRequest {
  return create(CompareRequestSchema, { sender, digest: digest.total, notices: digestNotices(notices), freshness: packFreshness(freshness) })
}

function checkOf (text: string | undefined): number {
  return text === undefined ? 0 : Number(BigInt.asUintN(32, hashText(text)))
}

function clampAge (ageMs: number): number {
  return Math.min(maxAgeMs, Math.max(0, Math.round(ageMs)))
}
