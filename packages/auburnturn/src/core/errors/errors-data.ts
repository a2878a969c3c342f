import type { ErrorDefinition } from './types.js'

function defineError<Name extends string> (name: Name, title: string, message: (detail: string) => string, hint?: string): ErrorDefinition & { readonly name: Name } {
  return hint === undefined ? { name, title, message } : { name, title, message, hint }
}

/** Every error that reaches a person: its tag, title, message and a hint at what to do. */
export const errors = {
  'settings-invalid': defineError('settings-invalid', 'Settings are not valid',
    detail => detail,
    'Run `auburnturn check FILE` until it finds nothing.'),
  'settings-unreadable': defineError('settings-unreadable', 'Settings cannot be read',
    detail => `The settings file could not be read: ${detail}`),
  'document-invalid': defineError('document-invalid', 'Configuration entry is not valid',
    detail => `The configuration entry was refused whole:\n${detail}`,
    'The last good version stays in force; correct the entry and publish it again.'),
  'document-unreadable': defineError('document-unreadable', 'Document cannot be read',
    detail => `The document could not be read: ${detail}`),
  'usage-invalid': defineError('usage-invalid', 'Command line is not valid',
    detail => detail,
    'Run the command with --help for its words.'),
  'address-invalid': defineError('address-invalid', 'Address is not valid',
    detail => `found ${JSON.stringify(detail)}; allowed: IP:PORT, such as 127.0.0.1:18003 or [::1]:18003`),
  'part-unknown': defineError('part-unknown', 'Node has no such part',
    detail => detail),
  'answer-invalid': defineError('answer-invalid', 'Answer cannot be read',
    detail => `The answer is not that of a node's operator address: ${detail}`,
    'Give the operator address, not the one for callers.'),
  'node-unreachable': defineError('node-unreachable', 'Node cannot be reached',
    detail => `No answer from ${detail}`,
    'The operator address is a loopback address by default: run the command on the VM itself.'),
  'platform-unreachable': defineError('platform-unreachable', 'Platform cannot be reached',
    detail => `The platform did not answer: ${detail}`),
  'address-in-use': defineError('address-in-use', 'Address is already in use',
    detail => `Cannot listen on ${detail}.`)
} as const
