import { maxTicketLength } from './constants.js'
import type { Ticket } from './types.js'

/** `MEMBER.INCARNATION.SERIAL.MAC`; the name of a member may contain dots. */
const ticketPattern = /^([\x21-\x7e]{1,200})\.([0-9a-f]{1,64})\.(0|[1-9]\d{0,14})\.([A-Za-z0-9_-]{16})$/

/** Formats a ticket as the text that callers send. */
export function formatTicket ({ member, incarnation, serial, mac }: Ticket): string {
  return `${member}.${incarnation}.${serial}.${mac}`
}

/** Parses the text of a ticket; undefined if it is malformed. Does not check whether the ticket was issued. */
export function parseTicket (text: string): Ticket | undefined {
  if (text.length > maxTicketLength) return undefined
  const match = ticketPattern.exec(text)
  if (match === null) return undefined
  const [, member, incarnation, serial, mac] = match as unknown as [string, string, string, string, string]
  return { member, incarnation, serial: Number(serial), mac }
}
